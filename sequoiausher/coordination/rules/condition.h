#pragma once

// One condition of a rule: `when.KEY = VALUE`. Values are alternatives between commas; a text may end in '*' for any
// rest, and a number may be N, N-M, <N, <=N, >N or >=N.
//
//     std::vector<Condition> conditions = parseConditions(section, "salt");
//     holds(conditions[0], facts);

#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/coordination/rules/requestfacts.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** What a condition looks at. */
enum class ConditionKind {
    Organisation,
    Class,
    Model,
    Path,
    Method,
    ChatShare,
    PromptBytes,
    PromptTokens,
    TimeOfDay,
    Header,
    PoolTargets,
    PoolInFlight,
    PoolInFlightPerTarget,
};

/** The keys; of headers and pools, the part that follows the name. */
template<>
inline constexpr auto nameTable<ConditionKind> = std::to_array<NameEntry<ConditionKind>>({
    {ConditionKind::Organisation, "organisation"},
    {ConditionKind::Class, "class"},
    {ConditionKind::Model, "model"},
    {ConditionKind::Path, "path"},
    {ConditionKind::Method, "method"},
    {ConditionKind::ChatShare, "chat_share"},
    {ConditionKind::PromptBytes, "prompt_bytes"},
    {ConditionKind::PromptTokens, "prompt_tokens"},
    {ConditionKind::TimeOfDay, "time_of_day"},
    {ConditionKind::Header, "header"},
    {ConditionKind::PoolTargets, "targets"},
    {ConditionKind::PoolInFlight, "in_flight"},
    {ConditionKind::PoolInFlightPerTarget, "in_flight_per_target"},
});

/** Both ends belong to it. */
struct NumberRange
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool operator==(const NumberRange &) const = default;
};

/** One condition. */
struct Condition
{
    ConditionKind kind = ConditionKind::Path;
    /** The header's or pool's name, or the salt of a share of chats. */
    std::string qualifier;
    /** Of a condition on a text: exact, or a prefix with '*' at its end. */
    std::vector<std::string> patterns;
    /** Of a condition on a number: sorted, apart from each other. */
    std::vector<NumberRange> ranges;
    /** Key and value as they were written, for explanations. */
    std::string key;
    std::string writtenValue;
};

/** The parts in which shares of chats are counted. */
inline constexpr std::uint64_t chatShareCount = 100;

/**
 * In which of the hundred parts a chat falls, the same on every router and for as long as the salt stays. Shares
 * under different salts are independent of each other.
 */
std::uint64_t chatShareOf(std::uint64_t chatHash, std::string_view salt);

/** The estimate used for prompt_tokens: four bytes make a token. */
std::uint64_t estimatedTokens(std::uint64_t promptBytes);

/** Reads every `when.` key of a rule's section. @param salt for chat_share where the rule has no when.chat_salt. */
std::vector<Condition> parseConditions(SectionReader &section, const std::string &salt);

/** Whether facts meet the condition. */
bool holds(const Condition &condition, const RequestFacts &facts);

/** What facts say where the condition looks, as text. */
std::string describeFact(const Condition &condition, const RequestFacts &facts);

/** Whether the condition is met by every request. */
bool alwaysHolds(const Condition &condition);

/** Whether wide is met by every request that meets narrow; may miss some such pairs, never names a wrong one. */
bool covers(const Condition &wide, const Condition &narrow);

} // namespace Sequoiausher
