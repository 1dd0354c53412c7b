#ifndef REVIEW_STAND_INS_2_RECORD_HPP
#define REVIEW_STAND_INS_2_RECORD_HPP

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

inline double seconds_since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

/// The file record.txt of a case: one line for each thing that was sent, answered or run, with the
/// seconds since the case began.
class record
{
public:
    explicit record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
    ~record()
    {
        if (m_file != nullptr)
            std::fclose(m_file);
    }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    bool is_open() const { return m_file != nullptr; }
    double now() const { return seconds_since(m_start); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
    steady::time_point m_start = steady::now();
};

} // namespace review

#endif
