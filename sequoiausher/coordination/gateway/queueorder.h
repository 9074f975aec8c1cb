#pragma once

// The order in which a model engine reads the prompts that wait there. Long prompts hold up short ones: a request that
// has to read some hundred tokens waits for one that reads ten thousand. Shortest first within a class keeps the number
// of late answers low and delays the long ones little, since the short ones are little work.
//
//     order.priority = shortestFirstPriority(RequestClass::Interactive, parts.tokensToRead(directory, target, 0,
//     now));

#include "sequoiausher/base/requestclass.h"

#include <cstdint>

namespace Sequoiausher {

/** The number of priorities of an engine, from 0 (first) on. */
inline constexpr std::uint32_t enginePriorityCount = 10;

/**
 * Returns the priority of a request, 0 (first) to 9 (last): by its class, and within the class in three steps by the
 * tokens that its target has to read, so that requests of similar length keep their order of arrival.
 * @param tokensToRead the tokens of the prompt that the target has not cached
 */
std::uint32_t shortestFirstPriority(RequestClass requestClass, std::uint64_t tokensToRead);

} // namespace Sequoiausher
