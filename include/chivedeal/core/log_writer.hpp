#ifndef CHIVEDEAL_CORE_LOG_WRITER_HPP
#define CHIVEDEAL_CORE_LOG_WRITER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/duty.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chivedeal {

/// Duty: writes log lines to a descriptor, many in one call.
///
/// While one is installed, `log_event` only puts a line on its ring. A full ring drops the line and
/// counts it; the next lines that are written say how many were lost.
class log_writer : public duty
{
public:
    struct options
    {
        int descriptor = 1;
        std::size_t capacity = 4096;
    };

    explicit log_writer(options settings);
    ~log_writer() override;

    std::string name() const override { return "log_writer"; }
    void run() override;
    void request_stop() override;

    /// Never blocks.
    void write(std::string line);

    std::uint64_t dropped() const { return m_dropped; }

    /// The writer that `log_event` uses; null when lines are written by glog in the caller's thread.
    static log_writer* installed();
    void install();
    /// Makes `log_event` write by glog again.
    void uninstall();

private:
    void write_batch(std::string first);

    int m_descriptor;
    bounded_ring<std::string> m_lines;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::uint64_t m_reported = 0;
};

} // namespace chivedeal

#endif
