#include "almondlink/server/admin_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <ostream>
#include <thread>
#include <utility>

namespace almondlink::server {

namespace {

constexpr unsigned kThreads = 2;
constexpr unsigned kMostThreads = 4;
constexpr unsigned kNotFound = 404;
constexpr unsigned kFailed = 500;

using Handlers = std::map<std::string, AdminHandler>;

class AdminResponder : public cxxtools::http::Responder {
 public:
  AdminResponder(cxxtools::http::Service& service, const Handlers& handlers)
      : cxxtools::http::Responder(service), handlers(handlers) {}

  void reply(std::ostream& out,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    const AdminAnswer answer = this->Handle(request);
    reply.httpReturn(answer.status, answer.status == 200 ? "OK" : "Failed");
    reply.setHeader("Content-Type", answer.content_type.c_str());
    out << answer.body;
  }

 private:
  AdminAnswer Handle(const cxxtools::http::Request& request) const {
    const auto found = this->handlers.find(request.url());
    if (found == this->handlers.end()) {
      std::string known;
      for (const auto& [path, handler] : this->handlers) {
        known += known.empty() ? path : ", " + path;
      }
      return AdminAnswer{kNotFound, "text/plain",
                         "known paths: " + known + "\n"};
    }
    try {
      return found->second(AdminRequest{request.method(), request.url(),
                                        request.qparams(), request.bodyStr()});
    } catch (const std::exception& error) {
      return AdminAnswer{kFailed, "text/plain",
                         std::string(error.what()) + "\n"};
    }
  }

  const Handlers& handlers;
};

class AdminService : public cxxtools::http::Service {
 public:
  explicit AdminService(Handlers handlers) : handlers(std::move(handlers)) {}

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request& /*request*/) override {
    return new AdminResponder(*this, this->handlers);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }

 private:
  const Handlers handlers;
};

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const config::Endpoint& address, Handlers handlers)
      : address(address), service(std::move(handlers)) {}

  ~Impl() {
    if (this->thread.joinable()) {
      this->loop.exit();
      this->thread.join();
    }
  }

  Result<void> Start() {
    try {
      this->server = std::make_unique<cxxtools::http::Server>(
          this->loop, this->address.ip, this->address.port);
      this->server->minThreads(kThreads);
      this->server->maxThreads(kMostThreads);
      this->server->addService(cxxtools::Regex(".*"), this->service);
    } catch (const std::exception& error) {
      return Fail(ErrorKind::kIo,
                  this->address.Text() + ": cannot listen: " + error.what());
    }
    this->thread = std::thread([this]() { this->loop.run(); });
    return {};
  }

 private:
  const config::Endpoint address;
  AdminService service;
  cxxtools::EventLoop loop;
  std::unique_ptr<cxxtools::http::Server> server;
  std::thread thread;
};

AdminServer::AdminServer(const config::Endpoint& address,
                         std::map<std::string, AdminHandler> handlers)
    : impl(std::make_unique<Impl>(address, std::move(handlers))) {}

AdminServer::~AdminServer() = default;

Result<void> AdminServer::Start() {
  return this->impl->Start();
}

}  // namespace almondlink::server
