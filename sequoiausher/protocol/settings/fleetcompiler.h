#pragma once

// Judges documents and compiles sets of them, and keeps what it read of each: a change costs what the changed document
// costs, and a look at each of the others. At 282 documents and 98,000 changes a day, reading them all anew for each
// change took a sixth of a core.
//
//     FleetCompiler compiler;
//     ConfigurationState configuration(compiler);
//     if (configuration.offer(table) == OfferResult::InForce) {
//         const auto fleet = compiler.compiled();              // what configuration.inForce() says
//     }

#include "sequoiausher/coordination/spread/configurationstate.h"
#include "sequoiausher/protocol/settings/fleetconfiguration.h"

#include <memory>

namespace Sequoiausher {

/**
 * Every document is good or bad by itself, so that the verdict on a set does not hang on which documents a router
 * happens to know already. What documents say of each other (names that nobody published, rules hidden by an
 * organisation's) are warnings. Not thread-safe.
 */
class FleetCompiler : public DocumentChecker
{
public:
    FleetCompiler();
    ~FleetCompiler() override;

    /** The error's peer is the document; its reason names every problem. */
    std::optional<Error> check(const DocumentPointer &document) override;

    /** Compiles the set; only what is new in it is read. */
    std::optional<Error> checkTogether(const DocumentSet &candidate) override;

    /**
     * Without its rules document an organisation's requests would go by rules that may ask for no claim, and so run
     * twice: a rule that refuses them takes its place. A pool is left out, so that requests for it find no target.
     * Without routers or organisations nothing can be decided rightly: a router waits for good ones.
     */
    StandIn standIn(const std::string &name) const override;

    /** The last set that checkTogether() found good; null until there is one. */
    std::shared_ptr<const FleetConfiguration> compiled() const;

    /** What is doubtful in it, by name of the document. */
    const Problems &warnings() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
