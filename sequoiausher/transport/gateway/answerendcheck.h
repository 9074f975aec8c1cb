#pragma once

// Finds out whether the end of a target's connection was the end of its answer. An answer without a length ends with
// its connection, and so does one whose target ended in its middle: only a target that still accepts connections has
// ended its answer.
//
//     AnswerEndCheck end(context);
//     end.begin();                                            // with each attempt
//     end.confirm(target, now, [this](bool isWhole) { ... }); // the target closed the connection

#include "sequoiausher/coordination/gateway/attemptoutcome.h"
#include "sequoiausher/transport/gateway/gatewaycontext.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Sequoiausher {

/** The end of one request's answers. */
class AnswerEndCheck
{
public:
    using Confirmed = std::function<void(bool isWhole)>;

    /** context outlives this. */
    explicit AnswerEndCheck(GatewayContext &context);

    /** A new attempt begins. */
    void begin();
    /** What marks the end of the present answer. */
    AnswerEnd kind() const;
    void setKind(AnswerEnd end);
    /**
     * Opens a connection to the target, and calls confirmed with whether it was accepted; perhaps at once, never after
     * a later begin() or after this is destroyed.
     */
    void confirm(const GatewayTarget &target, Millis now, Confirmed confirmed);

private:
    GatewayContext &context;
    AnswerEnd end = AnswerEnd::Framing;
    /** Counts the checks, so that a late result meets no later one. */
    std::uint64_t checks = 0;
    /** Expires with this, for results that come later. */
    std::shared_ptr<const bool> life = std::make_shared<const bool>(true);
};

} // namespace Sequoiausher
