#ifndef CHIVEDEAL_SRC_MEMBERSHIP_FORWARDING_STREAM_HPP
#define CHIVEDEAL_SRC_MEMBERSHIP_FORWARDING_STREAM_HPP

#include <kj/async-io.h>

#include <cstddef>
#include <cstdint>

namespace chivedeal::membership {

/// A connection that passes everything on and reports the bytes to a derived class.
class forwarding_stream : public kj::AsyncIoStream
{
public:
    explicit forwarding_stream(kj::Own<kj::AsyncIoStream>&& inner) : m_inner(kj::mv(inner)) {}

    // NOLINTBEGIN(readability-identifier-naming)
    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t least, std::size_t most) override
    {
        return m_inner->tryRead(buffer, least, most).then([this](std::size_t bytes) {
            on_read(bytes);
            return bytes;
        });
    }

    kj::Promise<void> write(const void* buffer, std::size_t size) override
    {
        on_write(size);
        return m_inner->write(buffer, size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        std::uint64_t bytes = 0;
        for (const auto& piece : pieces)
            bytes += piece.size();
        on_write(bytes);
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
    virtual void on_read(std::uint64_t bytes) = 0;
    virtual void on_write(std::uint64_t bytes) = 0;

    kj::Own<kj::AsyncIoStream> m_inner;
};

} // namespace chivedeal::membership

#endif
