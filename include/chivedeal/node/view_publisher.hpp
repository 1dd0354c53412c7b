#ifndef CHIVEDEAL_NODE_VIEW_PUBLISHER_HPP
#define CHIVEDEAL_NODE_VIEW_PUBLISHER_HPP

#include "chivedeal/core/shared_cell.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include <memory>
#include <utility>

namespace chivedeal {

/// Keeps the newest membership view for threads that only look at it.
class view_publisher : public membership::membership_listener
{
public:
    void on_view(std::shared_ptr<const membership::membership_view> view) override
    {
        m_cell.store(std::move(view));
    }

    const shared_cell<membership::membership_view>& cell() const { return m_cell; }

private:
    shared_cell<membership::membership_view> m_cell{
        std::make_shared<const membership::membership_view>()};
};

} // namespace chivedeal

#endif
