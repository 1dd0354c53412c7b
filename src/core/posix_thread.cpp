#include "chivedeal/core/posix_thread.hpp"

#include <system_error>
#include <utility>

namespace chivedeal {

namespace {

constexpr std::size_t max_name_length = 15;

// The default of 8 MB a thread would let a few hundred stream threads exceed a small instance's
// address limits; the deepest call chain here, a JSON parse in an HTTP handler, stays far below.
constexpr std::size_t stack_bytes = 512 * 1024;

} // namespace

posix_thread::posix_thread(std::string name, std::function<void()> body)
    : m_name(std::move(name)), m_body(std::move(body))
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stack_bytes);
    const int failure = pthread_create(&m_thread, &attributes, &posix_thread::start, this);
    pthread_attr_destroy(&attributes);
    if (failure != 0)
        throw std::system_error(failure, std::generic_category(), "pthread_create " + m_name);
}

posix_thread::~posix_thread() { join(); }

void posix_thread::join()
{
    if (m_joined)
        return;
    pthread_join(m_thread, nullptr);
    m_joined = true;
}

void* posix_thread::start(void* self)
{
    auto* thread = static_cast<posix_thread*>(self);
    pthread_setname_np(pthread_self(), thread->m_name.substr(0, max_name_length).c_str());
    thread->m_body();
    return nullptr;
}

} // namespace chivedeal
