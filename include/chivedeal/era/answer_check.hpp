#ifndef CHIVEDEAL_ERA_ANSWER_CHECK_HPP
#define CHIVEDEAL_ERA_ANSWER_CHECK_HPP

#include <cstdint>

namespace chivedeal::era {

enum class answer_kind
{
    /// The answer belongs to the epoch of the reader's position.
    current,
    /// The store was restored since: the position is invalid and the answer must not be used.
    restored,
    /// The answer is older than an epoch that the node knows of, and must not be used.
    outdated,
};

/// Classifies an answer of the store to a request that used a position of epoch `position_epoch`.
constexpr answer_kind check_answer(std::uint64_t answer_epoch, std::uint64_t position_epoch,
                                   std::uint64_t newest_epoch)
{
    if (answer_epoch < newest_epoch)
        return answer_kind::outdated;
    return answer_epoch == position_epoch ? answer_kind::current : answer_kind::restored;
}

} // namespace chivedeal::era

#endif
