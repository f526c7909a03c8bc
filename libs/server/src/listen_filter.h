#ifndef ALMONDLINK_SERVER_SRC_LISTEN_FILTER_H_
#define ALMONDLINK_SERVER_SRC_LISTEN_FILTER_H_

namespace almondlink::server {

/// Lets no new connection begin at a listening socket, while those that have
/// begun go on. A caller whose first packet is dropped tries again a second
/// later. Without effect where the kernel takes no such filter: then a
/// connection may begin until the socket is closed.
void HoldOffConnections(int listening);

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_SRC_LISTEN_FILTER_H_
