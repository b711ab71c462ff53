// sycamorebend-ctl: the operators' command line.
#include <iostream>
#include <string>
#include <vector>

#include "ctl/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const sycamorebend::SystemClock clock;
  const auto http = sycamorebend::HttpClient::Create(1);
  const auto rpc = sycamorebend::RpcClient::Create(*http);
  return static_cast<int>(
      sycamorebend::RunCtl(arguments, *rpc, clock, std::cout, std::cerr));
}
