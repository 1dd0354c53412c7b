#ifndef TEST_PLATFORM_SOAK_SOAK_PROXY_HPP
#define TEST_PLATFORM_SOAK_SOAK_PROXY_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/posix_thread.hpp"

#include "absl/time/time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace chivedeal::soak {

/// Forwards the connections to one endpoint and disturbs them. One thread serves all of them.
class soak_proxy
{
public:
    enum class mode
    {
        forwarding,
        /// Nothing arrives in either direction.
        silent,
        /// Nothing arrives from the endpoint.
        one_way,
    };

    /// `target` accepts connections for as long as the proxy should.
    explicit soak_proxy(address target);
    ~soak_proxy();
    soak_proxy(const soak_proxy&) = delete;
    soak_proxy& operator=(const soak_proxy&) = delete;

    const address& listen_address() const { return m_address; }
    bool is_listening() const { return m_listener >= 0; }
    void set_mode(mode value) { m_mode = value; }
    void set_delay(absl::Duration value) { m_delay_us = absl::ToInt64Microseconds(value); }
    /// Resets all connections.
    void reset_connections() { m_reset_requested = true; }
    /// Resets all connections and refuses new ones.
    void shut_down() { m_shut_down_requested = true; }

private:
    // What is under way in one direction. An empty string stands for the end of the connection.
    using traffic = std::deque<std::pair<absl::Time, std::string>>;

    /// A connection of a node and the one to the endpoint that belongs to it.
    struct link
    {
        std::array<int, 2> descriptors;
        // What was received on each descriptor and goes to the other one.
        std::array<traffic, 2> received;
        std::array<bool, 2> ended{};
    };

    void run();
    void accept_all();
    // Returns false if the link has ended.
    bool transfer(link& pair, absl::Time now) const;
    bool receive(link& pair, std::size_t side, absl::Time now) const;
    bool deliver(link& pair, std::size_t from, absl::Time now) const;
    void reset_all();

    address m_address;
    address m_target;
    std::atomic<int> m_listener = -1;
    std::atomic<mode> m_mode = mode::forwarding;
    std::atomic<std::int64_t> m_delay_us = 0;
    std::atomic<bool> m_reset_requested = false;
    std::atomic<bool> m_shut_down_requested = false;
    std::atomic<bool> m_stopping = false;
    std::list<link> m_links;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::soak

#endif
