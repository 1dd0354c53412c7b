#ifndef CHIVEDEAL_FORWARD_WAKE_SIGNAL_HPP
#define CHIVEDEAL_FORWARD_WAKE_SIGNAL_HPP

namespace chivedeal::forward {

/// Wakes a thread that sleeps in epoll or poll (an eventfd).
class wake_signal
{
public:
    wake_signal();
    ~wake_signal();
    wake_signal(const wake_signal&) = delete;
    wake_signal& operator=(const wake_signal&) = delete;

    /// Readable after `raise`, until `clear`.
    int descriptor() const { return m_descriptor; }

    void raise();
    void clear();

private:
    int m_descriptor;
};

} // namespace chivedeal::forward

#endif
