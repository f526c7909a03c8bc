#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

#include "test/support/cluster.h"

/// Golden files of whole HTTP sessions. A file in test/golden holds what a
/// caller sends, between lines `>>>` and `<<<`, and what it gets back, followed
/// by `=== open` or `=== closed`. `{key:NAME}` stands for a fresh key, the same
/// within a session; `{long:N}` for N letters, `{crlf}` for a line end within a
/// body. scripts/renew-golden writes the answers anew for review.
namespace almondlink::test {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

struct Step {
  std::string comment;
  std::string request;
  std::string answer;
};

std::vector<Step> ReadSession(const std::string& path) {
  std::ifstream in(path);
  std::vector<Step> steps;
  std::string line;
  std::string* part = nullptr;
  std::string comment;
  while (std::getline(in, line)) {
    const bool is_in_request = !steps.empty() && part == &steps.back().request;
    if (line.rfind("# ", 0) == 0 && !is_in_request) {
      comment += line + "\n";
      part = nullptr;
    } else if (line == ">>>") {
      steps.push_back(Step{comment, "", ""});
      comment.clear();
      part = &steps.back().request;
    } else if (line == "<<<") {
      part = &steps.back().answer;
    } else if (part != nullptr) {
      *part += line + "\n";
      if (line.rfind("=== ", 0) == 0) {
        part = nullptr;
      }
    }
  }
  return steps;
}

/// Fills placeholders and turns line ends into those of HTTP. The body, behind
/// the empty line, loses its last line end.
std::string Expand(const std::string& text,
                   std::map<std::string, std::string>& keys) {
  std::string out;
  std::istringstream in(text);
  std::string line;
  bool is_body = false;
  while (std::getline(in, line)) {
    for (std::size_t at = line.find("{key:"); at != std::string::npos;
         at = line.find("{key:")) {
      const std::size_t end = line.find('}', at);
      std::string& key = keys[line.substr(at, end - at)];
      key = key.empty() ? FreshKey() : key;
      line.replace(at, end + 1 - at, key);
    }
    const std::size_t at = line.find("{long:");
    if (at != std::string::npos) {
      const std::size_t end = line.find('}', at);
      const int count = std::atoi(line.c_str() + at + 6);
      line.replace(at, end + 1 - at,
                   std::string(static_cast<std::size_t>(count), 'x'));
    }
    for (std::size_t end = line.find("{crlf}"); end != std::string::npos;
         end = line.find("{crlf}")) {
      line.replace(end, 6, "\r\n");
    }
    out += line + (is_body ? "" : "\r\n");
    is_body = is_body || line.empty();
  }
  return out;
}

/// One connection that plays a session.
class Player {
 public:
  explicit Player(int port) : socket(this->context) {
    this->socket.connect({asio::ip::make_address("127.0.0.1"),
                          static_cast<unsigned short>(port)});
    const timeval limit{5, 0};
    setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
  }

  std::string Play(const std::string& request) {
    beast::error_code error;
    asio::write(this->socket, asio::buffer(request), error);
    http::response<http::string_body> response;
    http::read(this->socket, this->buffer, response, error);
    std::ostringstream out;
    if (error) {
      out << "no answer\n";
    } else {
      out << response;
    }
    std::string text = out.str();
    text.erase(std::remove(text.begin(), text.end(), '\r'), text.end());
    text += text.empty() || text.back() == '\n' ? "" : "\n";
    const bool is_open = !error && response.keep_alive();
    return text + (is_open ? "=== open\n" : "=== closed\n");
  }

 private:
  asio::io_context context;
  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer;
};

/// Plays a session; a connection that was closed is opened again.
std::vector<Step> PlaySession(int port, std::vector<Step> steps) {
  std::map<std::string, std::string> keys;
  std::unique_ptr<Player> player;
  for (Step& step : steps) {
    if (player == nullptr) {
      player = std::make_unique<Player>(port);
    }
    step.answer = player->Play(Expand(step.request, keys));
    if (step.answer.find("=== closed") != std::string::npos) {
      player.reset();
    }
  }
  return steps;
}

void WriteSession(const std::string& path, const std::vector<Step>& steps) {
  std::ofstream out(path);
  for (const Step& step : steps) {
    out << step.comment << ">>>\n"
        << step.request << "<<<\n"
        << step.answer << "\n";
  }
}

TEST_CASE("golden sessions") {
  Cluster cluster(22500, "golden");
  cluster.StartLog();
  cluster.Add({"shop-1",
               "zone-a",
               "shop",
               16,
               1,
               "",
               true,
               {{"[node]", "max_body = 4KiB\nmax_header = 2KiB"}}});
  const Instance& entry =
      cluster.Add({"stock-1",
                   "zone-b",
                   "stock",
                   16,
                   1,
                   "",
                   true,
                   {{"[node]", "max_body = 4KiB\nmax_header = 2KiB"}}});
  std::vector<std::string> paths;
  for (const auto& item : std::filesystem::directory_iterator("test/golden")) {
    if (item.path().extension() == ".session") {
      paths.push_back(item.path().string());
    }
  }
  std::sort(paths.begin(), paths.end());
  REQUIRE(paths.size() >= 4);
  const bool is_renewed = std::getenv("ALMONDLINK_RENEW") != nullptr;
  REQUIRE(Eventually([&]() { return !cluster.Dump(entry).is_null(); }));
  bool is_released = false;
  for (const std::string& path : paths) {
    // Sessions whose names start with 0 are played before the release.
    const bool needs_bundle = path.find("/0-") == std::string::npos;
    if (needs_bundle && !is_released) {
      cluster.Release(ShopBundle(1));
      cluster.WaitReady(2);
      is_released = true;
    }
    const std::vector<Step> steps = ReadSession(path);
    const std::vector<Step> played = PlaySession(entry.port, steps);
    if (is_renewed) {
      WriteSession(path, played);
      continue;
    }
    for (std::size_t i = 0; i < steps.size(); ++i) {
      INFO(path << ", step " << i + 1 << ":\n" << steps[i].request);
      CHECK(played[i].answer == steps[i].answer);
    }
  }
}

}  // namespace
}  // namespace almondlink::test
