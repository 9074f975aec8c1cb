#pragma once

// `sequoiausher check`: checks a router's settings and the platform's documents. It has all documents at once, so
// unknown pools and organisations are errors.
//
//     sequoiausher check --settings etc/router.ini --documents etc/documents

#include "sequoiausher/cli/commandline.h"

namespace Sequoiausher {

/** Exits with Ok if there are no errors, and with BadInput otherwise; warnings do not count. */
class CheckCommand : public Command
{
public:
    CommandHelp help() const override;
    void addOptions(cxxopts::Options &options) const override;
    ExitCode run(const cxxopts::ParseResult &options, std::ostream &out, std::ostream &err) const override;
};

} // namespace Sequoiausher
