#ifndef CHIVEDEAL_CORE_SUPERVISOR_HPP
#define CHIVEDEAL_CORE_SUPERVISOR_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/core/child_spec.hpp"
#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/supervisor_options.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace chivedeal {

/// Runs each child in a thread of its own and restarts a child that throws or returns early.
///
/// A supervisor is itself a duty, so supervisors nest. Children start in order and stop in reverse
/// order. When the restart intensity is exceeded `run` stops all children and throws.
///
///     supervisor root({.name = "node"}, {{.name = "router", .make = make_router}});
///     root.run(); // until request_stop
class supervisor : public duty
{
public:
    supervisor(supervisor_options options, std::vector<child_spec> children);
    ~supervisor() override;

    std::string name() const override { return m_options.name; }
    void run() override;
    void request_stop() override;

private:
    class child;

    // `index` is the child that ended; `fault` is empty when it returned.
    struct child_exit
    {
        std::size_t index = 0;
        std::string fault;
    };

    void stop_children();
    bool exceeds_intensity(absl::Time now);

    supervisor_options m_options;
    std::vector<child_spec> m_specs;
    std::vector<std::unique_ptr<child>> m_children;
    std::deque<absl::Time> m_restarts;
    bounded_ring<child_exit> m_exits;
};

} // namespace chivedeal

#endif
