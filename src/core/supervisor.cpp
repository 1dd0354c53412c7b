#include "chivedeal/core/supervisor.hpp"

#include "chivedeal/core/log_event.hpp"
#include "chivedeal/core/posix_thread.hpp"
#include "chivedeal/core/system_clock.hpp"

#include <exception>
#include <stdexcept>
#include <utility>

namespace chivedeal {

class supervisor::child
{
public:
    child(const child_spec& spec, std::size_t index, bounded_ring<child_exit>& exits)
        : m_duty(spec.make()), m_thread(spec.name, [this, index, &exits] { run(index, exits); })
    {}

    void request_stop() { m_duty->request_stop(); }

private:
    void run(std::size_t index, bounded_ring<child_exit>& exits)
    {
        child_exit ended{.index = index, .fault = {}};
        try {
            m_duty->run();
        }
        catch (const std::exception& fault) {
            ended.fault = fault.what();
        }
        // Fails only while the supervisor stops, when no restart is wanted.
        (void)exits.try_push(std::move(ended));
    }

    std::unique_ptr<duty> m_duty;
    posix_thread m_thread;
};

supervisor::supervisor(supervisor_options options, std::vector<child_spec> children)
    : m_options(std::move(options)),
      m_specs(std::move(children)),
      m_children(m_specs.size()),
      m_exits(m_specs.size() + 1)
{}

supervisor::~supervisor() = default;

void supervisor::run()
{
    for (std::size_t i = 0; i < m_specs.size(); ++i)
        m_children[i] = std::make_unique<child>(m_specs[i], i, m_exits);
    const system_clock clock;
    while (auto ended = m_exits.pop()) {
        const std::string& child_name = m_specs[ended->index].name;
        if (exceeds_intensity(clock.now())) {
            log_event(event_id::supervisor_gave_up,
                      {{"supervisor", m_options.name}, {"child", child_name}});
            stop_children();
            throw std::runtime_error(child_name + ": " + ended->fault);
        }
        log_event(event_id::child_restarted,
                  {{"supervisor", m_options.name}, {"child", child_name}, {"fault", ended->fault}});
        m_children[ended->index].reset();
        // Waits on the ring's close, so that a stop request ends the delay.
        if (auto next = m_exits.pop(m_options.restart_delay))
            (void)m_exits.try_push(std::move(*next));
        if (m_exits.closed())
            break;
        m_children[ended->index] =
            std::make_unique<child>(m_specs[ended->index], ended->index, m_exits);
    }
    stop_children();
}

void supervisor::request_stop() { m_exits.close(); }

void supervisor::stop_children()
{
    for (auto child = m_children.rbegin(); child != m_children.rend(); ++child) {
        if (!*child)
            continue;
        (*child)->request_stop();
        child->reset();
    }
}

bool supervisor::exceeds_intensity(absl::Time now)
{
    m_restarts.push_back(now);
    while (m_restarts.front() < now - m_options.restart_window)
        m_restarts.pop_front();
    return static_cast<int>(m_restarts.size()) > m_options.max_restarts;
}

} // namespace chivedeal
