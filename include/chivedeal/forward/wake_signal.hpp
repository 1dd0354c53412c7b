#ifndef CHIVEDEAL_FORWARD_WAKE_SIGNAL_HPP
#define CHIVEDEAL_FORWARD_WAKE_SIGNAL_HPP

namespace chivedeal::forward {

/// An eventfd that wakes a thread blocked in epoll or poll.
class wake_signal
{
public:
    wake_signal();
    ~wake_signal();
    wake_signal(const wake_signal&) = delete;
    wake_signal& operator=(const wake_signal&) = delete;

    /// Becomes readable on `raise` and stays so until `clear`.
    int descriptor() const { return m_descriptor; }

    void raise();
    void clear();

private:
    int m_descriptor;
};

} // namespace chivedeal::forward

#endif
