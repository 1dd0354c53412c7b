#ifndef TEST_PLATFORM_SOAK_SOAK_ENDPOINT_HPP
#define TEST_PLATFORM_SOAK_SOAK_ENDPOINT_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "test/platform_soak/ledger.hpp"
#include "test/platform_soak/soak_proxy.hpp"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace chivedeal::soak {

/// One incarnation of an endpoint. One thread serves all its connections.
class soak_endpoint
{
public:
    soak_endpoint(std::string id, std::string service, ledger& promises);
    ~soak_endpoint();
    soak_endpoint(const soak_endpoint&) = delete;
    soak_endpoint& operator=(const soak_endpoint&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    /// The record that it publishes in the store.
    std::string record() const;

    void announce_leaving() { m_leaving = true; }
    bool is_leaving() const { return m_leaving; }
    /// Turns requests away for this long.
    void pause(absl::Duration length) { m_paused_until = absl::ToUnixMicros(absl::Now() + length); }
    /// Breaks off this share of the streams.
    void set_cut_share(double share) { m_cut_share = share; }
    /// Whether a request has ended it.
    bool crashed() const { return m_crashed; }
    /// Ends it like a crash.
    void crash() { m_crash_requested = true; }
    /// The proxy through which nodes reach it.
    soak_proxy& proxy() { return m_proxy; }

private:
    struct connection
    {
        std::string input;
        std::deque<std::pair<absl::Time, std::string>> output;
        bool close_after_output = false;
    };

    void run();
    void receive(int descriptor, connection& peer);
    void respond(connection& peer, const std::string& request);
    void flush_due(absl::Time now);
    void close_all();

    std::string m_id;
    std::string m_service;
    ledger& m_ledger;
    address m_address;
    soak_proxy m_proxy;
    std::int64_t m_started_at_unix_ms;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_crash_requested = false;
    std::atomic<bool> m_crashed = false;
    std::atomic<std::int64_t> m_paused_until = 0;
    std::atomic<double> m_cut_share = 0;
    std::map<int, connection> m_connections;
    std::unique_ptr<posix_thread> m_thread;
};

} // namespace chivedeal::soak

#endif
