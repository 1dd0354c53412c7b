#ifndef FAKES_FAKE_MEMBERSHIP_LISTENER_HPP
#define FAKES_FAKE_MEMBERSHIP_LISTENER_HPP

#include "chivedeal/core/bounded_ring.hpp"
#include "chivedeal/membership/membership_listener.hpp"
#include "chivedeal/membership/membership_view.hpp"

#include <memory>
#include <utility>

namespace chivedeal::fakes {

/// Keeps the views for a test that waits for one.
class fake_membership_listener : public membership::membership_listener
{
public:
    void on_view(std::shared_ptr<const membership::membership_view> view) override
    {
        (void)m_views.try_push(std::move(view));
    }

    /// Waits for a view with the property.
    template<class Predicate>
    std::shared_ptr<const membership::membership_view> wait_for(Predicate wanted)
    {
        while (true)
            if (auto view = *m_views.pop(); wanted(*view))
                return view;
    }

private:
    bounded_ring<std::shared_ptr<const membership::membership_view>> m_views{4096};
};

} // namespace chivedeal::fakes

#endif
