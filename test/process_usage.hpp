#ifndef TEST_PROCESS_USAGE_HPP
#define TEST_PROCESS_USAGE_HPP

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <sys/types.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <vector>

namespace chivedeal::test {

/// Peaks of what a process used, as far as `observe` saw them.
class process_usage
{
public:
    /// `ports` are those on which the process accepts connections.
    void observe(pid_t process, const std::vector<std::uint16_t>& ports)
    {
        std::error_code ignored;
        const std::filesystem::directory_iterator entries(absl::StrCat("/proc/", process, "/fd"),
                                                          ignored);
        m_descriptors = std::max(m_descriptors, std::distance(begin(entries), end(entries)));
        m_threads = std::max(m_threads, status_number(process, "Threads:"));
        m_memory_kb = std::max(m_memory_kb, status_number(process, "VmHWM:"));
        m_total_kb = std::max(m_total_kb, status_number(process, "VmRSS:") + queued_kb(ports));
    }

    std::ptrdiff_t descriptors() const { return m_descriptors; }
    long threads() const { return m_threads; }
    /// Resident memory.
    long memory_kb() const { return m_memory_kb; }
    /// Resident memory and the bytes that the kernel holds for the accepted connections.
    long total_kb() const { return m_total_kb; }

private:
    static long status_number(pid_t process, const char* name)
    {
        std::ifstream status(absl::StrCat("/proc/", process, "/status"));
        for (std::string line; std::getline(status, line);)
            if (absl::StartsWith(line, name))
                return std::stol(line.substr(std::string(name).size()));
        return 0;
    }

    static long queued_kb(const std::vector<std::uint16_t>& ports)
    {
        long bytes = 0;
        std::ifstream table("/proc/net/tcp");
        std::string line;
        std::getline(table, line);
        while (std::getline(table, line)) {
            // sl, local address, remote address, state, send queue:receive queue
            const std::vector<std::string> columns =
                absl::StrSplit(line, ' ', absl::SkipWhitespace());
            std::uint32_t port = 0;
            std::uint32_t to_send = 0;
            std::uint32_t received = 0;
            const bool is_listener = columns.size() > 4 && columns[3] == "0A";
            if (columns.size() < 5 || is_listener || !read_hex(columns[1], 9, port) ||
                !read_hex(columns[4], 0, to_send) || !read_hex(columns[4], 9, received) ||
                std::find(ports.begin(), ports.end(), port) == ports.end())
                continue;
            bytes += to_send + received;
        }
        return bytes / 1024;
    }

    static bool read_hex(const std::string& text, std::size_t begin, std::uint32_t& value)
    {
        return text.size() > begin &&
               absl::SimpleHexAtoi(text.substr(begin, text.find(':', begin) - begin), &value);
    }

    std::ptrdiff_t m_descriptors = 0;
    long m_threads = 0;
    long m_memory_kb = 0;
    long m_total_kb = 0;
};

} // namespace chivedeal::test

#endif
