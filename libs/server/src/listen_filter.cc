#include "listen_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace almondlink::server {

namespace {

/// Place of the flags in a TCP head, and the flag that begins a connection.
constexpr unsigned kFlags = 13;
constexpr unsigned kBegins = 0x02;
constexpr unsigned kDrop = 0;
constexpr unsigned kPass = 0xffff'ffff;

}  // namespace

void HoldOffConnections(int listening) {
  std::array<sock_filter, 4> steps = {
      sock_filter{BPF_LD | BPF_B | BPF_ABS, 0, 0, kFlags},
      sock_filter{BPF_JMP | BPF_JSET | BPF_K, 0, 1, kBegins},
      sock_filter{BPF_RET | BPF_K, 0, 0, kDrop},
      sock_filter{BPF_RET | BPF_K, 0, 0, kPass}};
  const sock_fprog filter{static_cast<unsigned short>(steps.size()),
                          steps.data()};
  setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

}  // namespace almondlink::server
