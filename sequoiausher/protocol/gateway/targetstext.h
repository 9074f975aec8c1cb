#pragma once

// A list of targets as text, for gateways that cannot reach the store and learn it from those that can.
//
//     const std::string text = toText(targets);
//     const std::vector<GatewayTarget> same = parseTargetsText(text, "gateway 10.0.3.7:7103");

#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targetlist.h"

#include <string>
#include <vector>

namespace Sequoiausher {

/** Which keys a list has. Gateways refuse a list with a key that they do not know. */
enum class TargetsFormat {
    /** As gateways read it that know no software versions. */
    Plain,
    Versioned,
};

template<>
inline constexpr auto nameTable<TargetsFormat> = std::to_array<NameEntry<TargetsFormat>>({
    {TargetsFormat::Plain, "plain"},
    {TargetsFormat::Versioned, "versioned"},
});

/**
 * Checks that a list with the target can be read: one entry that cannot would make the whole list unreadable.
 * @param from names the entry in errors. @throws Error where the target has no id, address or service, a name with
 * control characters or blanks at its ends, or more slots than any target has.
 */
void checkTarget(const GatewayTarget &target, const std::string &from);

/** An INI text with a section [target NUMBER] for each; those that checkTarget() refuses are left out. */
std::string toText(const std::vector<GatewayTarget> &targets, TargetsFormat format = TargetsFormat::Versioned);

/** @param from names the sender in errors. @throws ProblemsError where the text is none that toText() writes. */
std::vector<GatewayTarget> parseTargetsText(const std::string &text, const std::string &from);

/** The same with a section [changes] that says between which revisions, and [gone NUMBER] for each that went. */
std::string toText(const TargetChanges &changes, TargetsFormat format = TargetsFormat::Versioned);

/** @param from names the sender in errors. @throws Error where the text is none that toText() writes. */
TargetChanges parseTargetChanges(const std::string &text, const std::string &from);

} // namespace Sequoiausher
