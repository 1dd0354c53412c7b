#ifndef CHIVEDEAL_FORWARD_REACHABILITY_LOG_HPP
#define CHIVEDEAL_FORWARD_REACHABILITY_LOG_HPP

#include <string>
#include <utility>

namespace chivedeal::forward {

/// Logs when a topic of the store stops and starts being readable.
class reachability_log
{
public:
    explicit reachability_log(std::string topic_name) : m_topic(std::move(topic_name)) {}

    void note_reached();
    void note_failed(const std::string& reason);

private:
    std::string m_topic;
    bool m_reachable = true;
};

} // namespace chivedeal::forward

#endif
