#ifndef CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_STREAM_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_STREAM_HPP

#include "chivedeal/core/control_traffic.hpp"

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>

namespace chivedeal::membership {

/// A connection whose bytes are counted as RPC, the framing included.
class counting_stream final : public kj::AsyncIoStream
{
public:
    counting_stream(kj::Own<kj::AsyncIoStream>&& inner, control_traffic& traffic)
        : m_inner(kj::mv(inner)), m_traffic(traffic)
    {}

    // NOLINTBEGIN(readability-identifier-naming)
    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t least, std::size_t most) override
    {
        return m_inner->tryRead(buffer, least, most).then([this](std::size_t bytes) {
            m_traffic.add_received(control_purpose::rpc, bytes);
            return bytes;
        });
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        m_traffic.add_sent(control_purpose::rpc, size);
        return m_inner->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        std::uint64_t bytes = 0;
        for (const auto& piece : pieces)
            bytes += piece.size();
        m_traffic.add_sent(control_purpose::rpc, bytes);
        return m_inner->write(pieces);
    }

    kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
    void shutdownWrite() override { m_inner->shutdownWrite(); }
    void abortRead() override { m_inner->abortRead(); }

    void getsockopt(int level, int option, void* value, kj::uint* length) override
    {
        m_inner->getsockopt(level, option, value, length);
    }

    void setsockopt(int level, int option, const void* value, kj::uint length) override
    {
        m_inner->setsockopt(level, option, value, length);
    }
    // NOLINTEND(readability-identifier-naming)

private:
    kj::Own<kj::AsyncIoStream> m_inner;
    control_traffic& m_traffic;
};

inline kj::Own<kj::AsyncIoStream> count_stream(kj::Own<kj::AsyncIoStream>&& stream,
                                               control_traffic* traffic)
{
    if (traffic == nullptr)
        return kj::mv(stream);
    return kj::heap<counting_stream>(kj::mv(stream), *traffic);
}

} // namespace chivedeal::membership

#endif
