#include "test/platform_soak/soak_node.hpp"

#include "fakes/free_address.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <utility>

namespace chivedeal::soak {

soak_node::soak_node(options settings)
    : m_options(std::move(settings)),
      m_front(fakes::free_address()),
      m_ready(fakes::free_address()),
      m_control(fakes::free_address()),
      m_directory(fakes::free_address()),
      m_metrics(fakes::free_address())
{}

void soak_node::write_settings(const std::vector<address>& seeds) const
{
    using nlohmann::json;
    json seed_list = json::array();
    for (const address& seed : seeds)
        seed_list.push_back(to_string(seed));
    json settings{
        {"node", m_options.name},
        {"zone", "z1"},
        {"region", "r1"},
        {"zones", {{"z1", "r1"}}},
        {"seeds", seed_list},
        {"port_range", {m_metrics.port, m_metrics.port}},
        {"listen",
         {{"front", to_string(m_front)},
          {"ready", to_string(m_ready)},
          {"control", to_string(m_control)},
          {"directory", to_string(m_directory)}}},
        {"provider", {{"addr", to_string(m_options.store)}}},
        {"bounds",
         {{"grace_s", 8}, {"ttl_max_s", 0.2}, {"retry_ratio", 0.2}, {"retry_slack", 50}}}};
    if (m_options.memory_mb > 0)
        settings["limits"]["memory_mb"] = m_options.memory_mb;
    if (m_options.max_descriptors > 0)
        settings["limits"]["max_fds"] = m_options.max_descriptors;
    std::ofstream(m_options.directory + "/" + m_options.name + ".json") << settings.dump();
}

void soak_node::start()
{
    m_stopping_gracefully = false;
    ++m_starts;
    // Waits for a process that was killed, as the platform does: until it has ended, its ports are in
    // use.
    m_process.reset();
    m_process = std::make_unique<scenario::process>(scenario::process::options{
        .command = {m_options.program, "forward"},
        .environment = {"CHIVEDEAL_CONFIG=" + m_options.directory + "/" + m_options.name + ".json"},
        .output_file = m_options.directory + "/" + m_options.name + ".log"});
}

void soak_node::signal(int number) const
{
    if (!m_process->ended())
        m_process->signal(number);
}

bool soak_node::ended() const { return m_process->ended(); }

bool soak_node::is_ready() const
{
    httplib::Client client(m_ready.host, m_ready.port);
    client.set_connection_timeout(1);
    client.set_read_timeout(1);
    const auto answer = client.Get("/v1/ready");
    return answer && answer->status == 200;
}

} // namespace chivedeal::soak
