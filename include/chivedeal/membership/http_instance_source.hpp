#ifndef CHIVEDEAL_MEMBERSHIP_HTTP_INSTANCE_SOURCE_HPP
#define CHIVEDEAL_MEMBERSHIP_HTTP_INSTANCE_SOURCE_HPP

#include "chivedeal/core/address.hpp"
#include "chivedeal/membership/instance_source.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace chivedeal {
class clock;
class control_traffic;
} // namespace chivedeal

namespace chivedeal::membership {

/// Parses `{"instances": [...]}`. Entries with a fault are left out, so that one bad entry does not
/// hide the others; `malformed_message` when there is no list.
result<std::vector<endpoint>> parse_instances(const std::string& body);

/// Parses `{"notices": [{seq, instance, deadline_ms}]}`; deadlines are calendar times in
/// milliseconds, `wall_now` turns them into time left.
result<std::vector<reclaim_notice>> parse_notices(const std::string& body, absl::Time wall_now);

/// Reads `GET /instances` and `GET /notices?after=` of the platform. For one thread.
///
/// The list is read with the entity tag of the last one, if the platform gave one, so that an
/// unchanged list costs neither its bytes nor its parsing.
class http_instance_source : public instance_source
{
public:
    struct options
    {
        address platform;
        const clock& time;
        absl::Duration timeout = absl::Seconds(2);
        /// Counts the bytes of the calls; may be null.
        control_traffic* traffic = nullptr;
    };

    explicit http_instance_source(options wiring);

    result<std::vector<endpoint>> instances() override;
    result<std::vector<reclaim_notice>> notices(std::uint64_t after) override;

private:
    struct tagged_body
    {
        bool unchanged = false;
        std::string tag;
        std::string body;
    };

    // An empty `known_tag` asks for the whole body.
    result<tagged_body> get(const std::string& path, const std::string& known_tag) const;

    options m_options;
    std::string m_tag;
    std::vector<endpoint> m_last;
};

} // namespace chivedeal::membership

#endif
