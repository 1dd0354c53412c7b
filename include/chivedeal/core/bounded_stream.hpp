#ifndef CHIVEDEAL_CORE_BOUNDED_STREAM_HPP
#define CHIVEDEAL_CORE_BOUNDED_STREAM_HPP

#include <httplib.h>

#include <cstddef>
#include <string>

namespace chivedeal {

/// Stream that fails once more than a number of bytes are read from it.
class bounded_stream : public httplib::Stream
{
public:
    bounded_stream(httplib::Stream& inner, std::size_t max_bytes)
        : m_inner(inner), m_remaining_bytes(max_bytes)
    {}

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, std::size_t size) override;
    ssize_t write(const char* data, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override;

private:
    httplib::Stream& m_inner;
    std::size_t m_remaining_bytes;
};

} // namespace chivedeal

#endif
