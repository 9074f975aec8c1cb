#pragma once

// Finds out which software version began a stream that a caller takes up, and records the version of a stream that
// begins here.
//
//     StreamOriginFinder origin(context);
//     origin.find(admitted, now, [this](const OriginFinding &finding) { this->goOn(finding); });
//     origin.recordBeginning(admitted, target, now);   // with the first event
//     criteria.softwareVersion = origin.version();

#include "sequoiausher/transport/gateway/gatewayadmission.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sequoiausher {

/** The origin of one request's stream. */
class StreamOriginFinder
{
public:
    using Found = std::function<void(const OriginFinding &finding)>;

    /** context outlives this. */
    explicit StreamOriginFinder(GatewayContext &context);

    /** Calls found once, at once or after other gateways were asked; never after this is destroyed. */
    void find(const AdmittedRequest &admitted, Millis now, Found found);
    /** The target has sent the first event: records its version and tells other gateways. */
    void recordBeginning(const AdmittedRequest &admitted, const GatewayTarget &target, Millis now);
    /** The version at which alone the stream may go on; none before its first event. */
    const std::optional<std::string> &version() const;
    /** How the version of a stream that was taken up is known, for log lines; empty where it was not asked for. */
    const std::string &findingText() const;

private:
    void finish(const OriginFinding &finding, const Found &found);

    GatewayContext &context;
    std::optional<std::string> softwareVersion;
    std::string text;
    bool hasRecorded = false;
    /** Other gateways have been asked. */
    bool isFinding = false;
    /** Expires with this, for answers that come later. */
    std::shared_ptr<const bool> life = std::make_shared<const bool>(true);
};

} // namespace Sequoiausher
