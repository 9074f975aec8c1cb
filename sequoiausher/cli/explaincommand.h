#pragma once

// `sequoiausher explain`: which rule decides for a request, and why the earlier ones do not. It works on a folder of
// documents, so that a change can be tried before it is published.
//
//     sequoiausher explain --documents etc/documents --organisation kentekenlab --model plate-model --chat 42

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Ends with Ok where a rule decides, Failed where none does, and BadInput where the documents have an error. */
class ExplainCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
