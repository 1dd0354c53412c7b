#ifndef CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_RECEIVER_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_COUNTING_RECEIVER_HPP

#include "counting_stream.hpp"

namespace chivedeal::membership {

/// A listener whose connections are counted.
class counting_receiver final : public kj::ConnectionReceiver
{
public:
    counting_receiver(kj::ConnectionReceiver& inner, control_traffic* traffic)
        : m_inner(inner), m_traffic(traffic)
    {}

    kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override
    {
        return m_inner.accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
            return count_stream(kj::mv(stream), m_traffic);
        });
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    kj::uint getPort() override { return m_inner.getPort(); }

private:
    kj::ConnectionReceiver& m_inner;
    control_traffic* m_traffic;
};

} // namespace chivedeal::membership

#endif
