#ifndef FAKES_FAKE_INSTANCE_SOURCE_HPP
#define FAKES_FAKE_INSTANCE_SOURCE_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/mutex.hpp"
#include "chivedeal/membership/instance_source.hpp"

#include <mutex>
#include <utility>

namespace chivedeal::fakes {

/// A platform list that a test sets; while it is down every call is `io_error`.
class fake_instance_source : public membership::instance_source
{
public:
    result<std::vector<membership::endpoint>> instances() override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_down)
            return error{.code = result_code::io_error, .message = "down"};
        return m_list;
    }

    result<std::vector<membership::reclaim_notice>> notices(std::uint64_t after) override
    {
        const std::lock_guard<mutex> lock(m_mutex);
        if (m_down)
            return error{.code = result_code::io_error, .message = "down"};
        std::vector<membership::reclaim_notice> out;
        for (const auto& notice : m_notices)
            if (notice.sequence > after)
                out.push_back(notice);
        return out;
    }

    void set(std::vector<membership::endpoint> list,
             std::vector<membership::reclaim_notice> notices)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_list = std::move(list);
        m_notices = std::move(notices);
    }

    void set_down(bool down)
    {
        const std::lock_guard<mutex> lock(m_mutex);
        m_down = down;
    }

private:
    mutex m_mutex;
    std::vector<membership::endpoint> m_list;
    std::vector<membership::reclaim_notice> m_notices;
    bool m_down = false;
};

} // namespace chivedeal::fakes

#endif
