#pragma once

// Random messages of every kind for property tests, with every field set.
//
//     rc::check("...", [](const PeerMessage &message) { ... });
//     for (const KindOfMessage &kind : everyKind()) {
//         const PeerMessage one = *kind.generator;
//     }
//
// The definitions stand in the source: in a header, rapidcheck's templates made each compilation under the sanitizers
// take minutes and gigabytes.

#include "sequoiausher/coordination/messages/peermessage.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace Sequoiausher {

/** A kind of message by its name, and a generator of messages of that kind alone. */
struct KindOfMessage
{
    std::string name;
    rc::Gen<PeerMessage> generator;
};

/** Every alternative of PeerMessage. */
std::vector<KindOfMessage> everyKind();

} // namespace Sequoiausher

namespace rc {

/** Every alternative of the variant, with equal weight. */
template<>
struct Arbitrary<Sequoiausher::PeerMessage>
{
    static Gen<Sequoiausher::PeerMessage> arbitrary();
};

} // namespace rc
