#pragma once

// A list of targets as text, for gateways that cannot reach the store and learn it from those that can.
//
//     const std::string text = toText(targets);
//     const std::vector<GatewayTarget> same = parseTargetsText(text, "gateway 10.0.3.7:7103");

#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targetlist.h"

#include <string>
#include <vector>

namespace Sequoiausher {

/** An INI text with a section [target NUMBER] for each. */
std::string toText(const std::vector<GatewayTarget> &targets);

/** @param from names the sender in errors. @throws ProblemsError where the text is none that toText() writes. */
std::vector<GatewayTarget> parseTargetsText(const std::string &text, const std::string &from);

/** The same with a section [changes] that says between which revisions, and [gone NUMBER] for each that went. */
std::string toText(const TargetChanges &changes);

/** @param from names the sender in errors. @throws Error where the text is none that toText() writes. */
TargetChanges parseTargetChanges(const std::string &text, const std::string &from);

} // namespace Sequoiausher
