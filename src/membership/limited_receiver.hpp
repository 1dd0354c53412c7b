#ifndef CHIVEDEAL_SRC_MEMBERSHIP_LIMITED_RECEIVER_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_LIMITED_RECEIVER_HPP

#include "chivedeal/membership/incoming_connections.hpp"
#include "counting_stream.hpp"
#include "forwarding_stream.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace chivedeal::membership {

/// A listener whose connections are counted, and closed where `incoming_connections` says so.
class limited_receiver final : public kj::ConnectionReceiver
{
public:
    limited_receiver(kj::ConnectionReceiver& inner, incoming_connections::options limits,
                     control_traffic* traffic)
        : m_inner(inner), m_open(std::make_shared<open_connections>(limits)), m_traffic(traffic)
    {}

    kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override
    {
        return m_inner.accept().then(
            [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Own<kj::AsyncIoStream> {
                return kj::heap<limited_stream>(count_stream(kj::mv(stream), m_traffic), m_open);
            });
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    kj::uint getPort() override { return m_inner.getPort(); }

private:
    // Shared with the streams: they may outlive the receiver.
    struct open_connections
    {
        explicit open_connections(incoming_connections::options limits) : decisions(limits) {}

        // Its owner then sees the end of the connection.
        void close(std::optional<std::uint64_t> connection)
        {
            if (const auto found = connection ? streams.find(*connection) : streams.end();
                found != streams.end())
                found->second->abortRead();
        }

        incoming_connections decisions;
        std::map<std::uint64_t, kj::AsyncIoStream*> streams;
        std::uint64_t last_id = 0;
    };

    class limited_stream final : public forwarding_stream
    {
    public:
        limited_stream(kj::Own<kj::AsyncIoStream>&& inner, std::shared_ptr<open_connections> open)
            : forwarding_stream(kj::mv(inner)), m_open(std::move(open)), m_id(++m_open->last_id)
        {
            m_open->streams.emplace(m_id, this);
            m_open->close(m_open->decisions.on_accepted(m_id));
        }
        ~limited_stream()
        {
            m_open->streams.erase(m_id);
            m_open->decisions.on_closed(m_id);
        }

    private:
        void on_read(std::uint64_t bytes) override
        {
            m_open->close(m_open->decisions.on_read(m_id, bytes));
        }
        void on_write(std::uint64_t /*bytes*/) override { m_open->decisions.on_write(m_id); }

        std::shared_ptr<open_connections> m_open;
        std::uint64_t m_id;
    };

    kj::ConnectionReceiver& m_inner;
    std::shared_ptr<open_connections> m_open;
    control_traffic* m_traffic;
};

} // namespace chivedeal::membership

#endif
