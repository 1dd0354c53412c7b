#ifndef CHIVEDEAL_CORE_ID_HPP
#define CHIVEDEAL_CORE_ID_HPP

#include <compare>
#include <string>
#include <utility>

namespace chivedeal {

/// A string identifier that does not mix with identifiers of another kind.
///
///     const node_id node{"n1"};
template<class Tag>
class id
{
public:
    id() = default;
    explicit id(std::string value) : m_value(std::move(value)) {}

    const std::string& str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const id&, const id&) = default;
    friend auto operator<=>(const id&, const id&) = default;

    template<class H>
    friend H AbslHashValue(H state, const id& value) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(state), value.m_value);
    }

private:
    std::string m_value;
};

using node_id = id<struct node_tag>;
using instance_id = id<struct instance_tag>;
/// An endpoint is a back end on one instance; it has the instance's identifier.
using endpoint_id = id<struct endpoint_tag>;
using zone_id = id<struct zone_tag>;
using region_id = id<struct region_tag>;
using workspace_id = id<struct workspace_tag>;
using service_id = id<struct service_tag>;
using version_id = id<struct version_tag>;
using team_id = id<struct team_tag>;
using request_id = id<struct request_tag>;
using change_id = id<struct change_tag>;

} // namespace chivedeal

#endif
