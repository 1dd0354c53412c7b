#ifndef REVIEW_STAND_INS_2_FREE_PORT_HPP
#define REVIEW_STAND_INS_2_FREE_PORT_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <string>

namespace review {

inline const std::string loopback = "127.0.0.1";

/// Returns a port that is free for TCP and UDP and was not returned before.
inline int free_port()
{
    static std::set<int> taken;
    while (true) {
        const int tcp = socket(AF_INET, SOCK_STREAM, 0);
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        inet_pton(AF_INET, loopback.c_str(), &at.sin_addr);
        socklen_t size = sizeof at;
        bind(tcp, reinterpret_cast<sockaddr*>(&at), sizeof at);
        getsockname(tcp, reinterpret_cast<sockaddr*>(&at), &size);
        const bool is_free = bind(udp, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
        close(tcp);
        close(udp);
        if (is_free && taken.insert(ntohs(at.sin_port)).second)
            return ntohs(at.sin_port);
    }
}

inline std::string local_address(int port) { return loopback + ":" + std::to_string(port); }

} // namespace review

#endif
