#pragma once

// One condition of a rule: `when.KEY = VALUE`. VALUE is a comma-separated list of alternatives. A text that ends in '*'
// matches any text with that prefix, and a number may be N, N-M, <N, <=N, >N or >=N.
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

/** The property of the request or of a pool that a condition tests. */
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
    Gateways,
    Header,
    PoolTargets,
    PoolInFlight,
    PoolInFlightPerTarget,
};

/** The keys without the prefix `when.`; for pools, the part after the pool's name. */
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
    {ConditionKind::Gateways, "gateways"},
    {ConditionKind::Header, "header"},
    {ConditionKind::PoolTargets, "targets"},
    {ConditionKind::PoolInFlight, "in_flight"},
    {ConditionKind::PoolInFlightPerTarget, "in_flight_per_target"},
});

/** A range of numbers, inclusive of both ends. */
struct NumberRange
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool operator==(const NumberRange &) const = default;
};

/** One condition, as read from a rule. */
struct Condition
{
    ConditionKind kind = ConditionKind::Path;
    /** The name of the header or pool, or the salt for a share of chats; empty for the other kinds. */
    std::string qualifier;
    /** The alternatives of a condition on a text: exact texts, or prefixes followed by '*'. */
    std::vector<std::string> patterns;
    /** The alternatives of a condition on a number, sorted and disjoint. */
    std::vector<NumberRange> ranges;
    /** The key and the value as written in the document, for explanations. */
    std::string key;
    std::string writtenValue;
};

/** The number of shares that all chats are divided into. */
inline constexpr std::uint64_t chatShareCount = 100;

/**
 * Returns the share of a chat, from 0 to 99. It is the same on every router and changes only with the salt. Shares
 * under different salts are independent of each other.
 */
std::uint64_t chatShareOf(std::uint64_t chatHash, std::string_view salt);

/** Returns the estimate used for prompt_tokens: one token per four bytes. */
std::uint64_t estimatedTokens(std::uint64_t promptBytes);

/**
 * Reads every `when.` key of a rule's section.
 * @param salt the salt for chat_share if the rule has no when.chat_salt.
 */
std::vector<Condition> parseConditions(SectionReader &section, const std::string &salt);

/** Whether the request meets the condition. */
bool holds(const Condition &condition, const RequestFacts &facts);

/** Returns the property of the request that the condition tests, as text. */
std::string describeFact(const Condition &condition, const RequestFacts &facts);

/** Whether every request meets the condition. */
bool alwaysHolds(const Condition &condition);

/** Whether every request that meets narrow also meets wide. May be false for some such pairs; true is always right. */
bool covers(const Condition &wide, const Condition &narrow);

} // namespace Sequoiausher
