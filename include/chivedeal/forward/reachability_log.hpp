#ifndef CHIVEDEAL_FORWARD_REACHABILITY_LOG_HPP
#define CHIVEDEAL_FORWARD_REACHABILITY_LOG_HPP

#include <string>
#include <utility>

namespace chivedeal::forward {

/// Logs when a topic of the store becomes unreadable and when it becomes readable again.
class reachability_log
{
public:
    explicit reachability_log(std::string topic_name) : m_topic(std::move(topic_name)) {}

    void on_read_success();
    void on_read_failure(const std::string& reason);

private:
    std::string m_topic;
    bool m_reachable = true;
};

} // namespace chivedeal::forward

#endif
