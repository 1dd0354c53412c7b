#ifndef CHIVEDEAL_FORWARD_FORWARDING_NODE_HPP
#define CHIVEDEAL_FORWARD_FORWARDING_NODE_HPP

#include "chivedeal/forward/duty_api.hpp"
#include "chivedeal/forward/header_names.hpp"
#include "chivedeal/forward/node_settings.hpp"
#include "chivedeal/forward/record_store.hpp"
#include "chivedeal/forward/wire_format.hpp"

#include <functional>
#include <memory>

namespace chivedeal::forward {

/// A node that forwards HTTP requests and runs all its duties under one supervisor.
class forwarding_node
{
public:
    struct options
    {
        node_settings settings;
        header_names names;
        std::unique_ptr<wire_format> format;
        /// Creates a store for use by one thread.
        std::function<std::unique_ptr<record_store>()> make_store;
        std::unique_ptr<duty_api> platform;
    };

    explicit forwarding_node(options parts);
    ~forwarding_node();

    /// Runs until `request_stop` is called or a drain ends. Throws when a duty fails permanently.
    void run();
    /// Starts a graceful shutdown. Thread-safe.
    void request_drain();
    void request_stop();

private:
    class impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace chivedeal::forward

#endif
