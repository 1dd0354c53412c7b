#ifndef CHIVEDEAL_ERA_EPOCH_REGISTER_HPP
#define CHIVEDEAL_ERA_EPOCH_REGISTER_HPP

#include <atomic>
#include <cstdint>

namespace chivedeal::era {

/// The highest epoch of the store that the node has learned of, from any of its clients or from a
/// peer. Thread-safe.
class epoch_register
{
public:
    /// Returns whether the epoch is higher than all earlier ones.
    bool note(std::uint64_t epoch)
    {
        std::uint64_t known = m_newest.load();
        while (epoch > known)
            if (m_newest.compare_exchange_weak(known, epoch))
                return true;
        return false;
    }

    std::uint64_t newest() const { return m_newest.load(); }

private:
    std::atomic<std::uint64_t> m_newest = 0;
};

} // namespace chivedeal::era

#endif
