#ifndef CHIVEDEAL_NODE_NODE_HPP
#define CHIVEDEAL_NODE_NODE_HPP

#include "chivedeal/core/duty.hpp"
#include "chivedeal/core/settings.hpp"

#include <memory>
#include <string>

namespace chivedeal {

/// An entry node: the root of the supervisor tree with all rings between its subtrees.
///
///     node entry(config);
///     entry.run(); // until request_stop, or until a drain is over
class node : public duty
{
public:
    explicit node(settings config);
    ~node() override;

    std::string name() const override { return "node"; }

    /// Throws when a subtree gave up.
    void run() override;

    /// Stops at once; open requests break off.
    void request_stop() override;

    /// Stops gracefully; `run` returns when no request is left.
    void request_drain();

private:
    class impl;

    std::unique_ptr<impl> m_impl;
};

} // namespace chivedeal

#endif
