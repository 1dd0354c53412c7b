#ifndef CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_STREAM_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_STREAM_HPP

#include "chivedeal/core/control_traffic.hpp"
#include "forwarding_stream.hpp"

#include <cstdint>

namespace chivedeal::membership {

/// A connection whose bytes are counted as RPC, the framing included.
class counting_stream final : public forwarding_stream
{
public:
    counting_stream(kj::Own<kj::AsyncIoStream>&& inner, control_traffic& traffic)
        : forwarding_stream(kj::mv(inner)), m_traffic(traffic)
    {}

private:
    void on_read(std::uint64_t bytes) override
    {
        m_traffic.add_received(control_purpose::rpc, bytes);
    }
    void on_write(std::uint64_t bytes) override { m_traffic.add_sent(control_purpose::rpc, bytes); }

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
