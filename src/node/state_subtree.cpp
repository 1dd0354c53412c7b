#include "chivedeal/node/state_subtree.hpp"

#include "chivedeal/core/settings.hpp"
#include "chivedeal/core/supervisor.hpp"
#include "chivedeal/state/log_appender.hpp"
#include "chivedeal/state/log_reader.hpp"
#include "chivedeal/state/snapshot_writer.hpp"
#include "chivedeal/state/state_keeper.hpp"
#include "chivedeal/state/stream_name.hpp"

#include <memory>
#include <utility>

namespace chivedeal {

namespace {

// Batches of the two streams and views; each batch holds up to 1,000 records.
constexpr std::size_t inbox_capacity = 64;

} // namespace

state_subtree::state_subtree(const settings& config, const clock& time, control_traffic& traffic)
    : m_config(config),
      m_clock(time),
      m_log({.platform = config.platform, .timeout = config.log_timeout, .traffic = &traffic}),
      m_inbox(inbox_capacity),
      m_view_listener(m_inbox)
{}

child_spec state_subtree::make_spec(wires links)
{
    links.listeners.push_back(&m_changes);
    return {.name = "state", .make = [this, links] {
                return std::make_unique<supervisor>(supervisor_options{.name = "state"},
                                                    make_children(links));
            }};
}

std::vector<child_spec> state_subtree::make_children(const wires& links)
{
    const auto make_reader = [this](const std::string& stream, state::log_position& position) {
        return child_spec{.name = std::string("log_") + stream, .make = [this, stream, &position] {
                              return std::make_unique<state::log_reader>(
                                  state::log_reader::options{.stream = stream,
                                                             .log = m_log,
                                                             .position = position,
                                                             .keeper_inbox = m_inbox,
                                                             .poll_wait = m_config.log_poll_wait});
                          }};
    };
    return {{.name = "log_appender",
             .make =
                 [this] {
                     return std::make_unique<state::log_appender>(
                         state::log_appender::options{.time = m_clock,
                                                      .log = m_log,
                                                      .queue = m_queue,
                                                      .limits = {},
                                                      .listener = &m_changes});
                 }},
            {.name = "state_keeper",
             .make =
                 [this, links] {
                     state::state_keeper::options wiring{.time = m_clock,
                                                         .machine = {},
                                                         .inbox = m_inbox,
                                                         .published = m_published,
                                                         .listeners = links.listeners,
                                                         .peers = links.peers};
                     wiring.machine.team_keys = m_config.team_keys;
                     return std::make_unique<state::state_keeper>(std::move(wiring));
                 }},
            make_reader(state::control_stream, m_published.control_position()),
            make_reader(state::claims_stream, m_published.claims_position()),
            {.name = "snapshot_writer", .make = [this] {
                 return std::make_unique<state::snapshot_writer>(state::snapshot_writer::options{
                     .time = m_clock,
                     .self = m_config.node,
                     .published = m_published,
                     .sink = m_queue,
                     .limits = {.retention = m_config.log_retention}});
             }}};
}

} // namespace chivedeal
