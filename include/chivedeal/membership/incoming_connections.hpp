#ifndef CHIVEDEAL_MEMBERSHIP_INCOMING_CONNECTIONS_HPP
#define CHIVEDEAL_MEMBERSHIP_INCOMING_CONNECTIONS_HPP

#include "chivedeal/guard/memory_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace chivedeal::membership {

/// Decides which of the connections that a node accepted from its peers are closed, so that their
/// number and the calls that are still being read stay within limits.
class incoming_connections
{
public:
    struct options
    {
        std::size_t max_connections = 1024;
        /// Limits what all connections have received since they were last written to: calls that are
        /// not answered yet.
        std::size_t max_unanswered_bytes = std::size_t{16} * 1024 * 1024;
    };

    explicit incoming_connections(options limits)
        : m_options(limits), m_unanswered(limits.max_unanswered_bytes)
    {}

    /// Each returns the connection to be closed, if any, which then counts no longer.
    ///
    /// The connection that was inactive for longest is closed for a new one.
    std::optional<std::uint64_t> on_accepted(std::uint64_t connection);
    std::optional<std::uint64_t> on_read(std::uint64_t connection, std::size_t bytes);

    void on_write(std::uint64_t connection);
    void on_closed(std::uint64_t connection);

    std::size_t size() const { return m_last_active.size(); }

private:
    void touch(std::uint64_t connection);

    options m_options;
    guard::memory_budget m_unanswered;
    // Numbers the activities of all connections.
    std::uint64_t m_activity = 0;
    std::map<std::uint64_t, std::uint64_t> m_last_active;
    std::map<std::uint64_t, std::uint64_t> m_by_activity;
};

} // namespace chivedeal::membership

#endif
