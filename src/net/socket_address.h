// Text and binary form of IPv4 socket addresses.
#ifndef SYCAMOREBEND_SRC_NET_SOCKET_ADDRESS_H_
#define SYCAMOREBEND_SRC_NET_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <string>

namespace sycamorebend::net {

// @return false unless `text` is "IP:port".
bool ParseAddress(const std::string& text, sockaddr_in& address);
std::string FormatAddress(const sockaddr_in& address);

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_SOCKET_ADDRESS_H_
