#include "chivedeal/core/bounded_stream.hpp"

#include <algorithm>

namespace chivedeal {

bool bounded_stream::is_readable() const { return m_inner.is_readable(); }

bool bounded_stream::is_writable() const { return m_inner.is_writable(); }

ssize_t bounded_stream::read(char* data, std::size_t size)
{
    if (m_remaining_bytes == 0)
        return -1;
    const ssize_t received_bytes = m_inner.read(data, std::min(size, m_remaining_bytes));
    if (received_bytes > 0)
        m_remaining_bytes -= static_cast<std::size_t>(received_bytes);
    return received_bytes;
}

ssize_t bounded_stream::write(const char* data, std::size_t size)
{
    return m_inner.write(data, size);
}

void bounded_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    m_inner.get_remote_ip_and_port(ip, port);
}

void bounded_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    m_inner.get_local_ip_and_port(ip, port);
}

socket_t bounded_stream::socket() const { return m_inner.socket(); }

} // namespace chivedeal
