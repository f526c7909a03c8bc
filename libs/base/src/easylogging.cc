// easylogging++ is shipped as one source file that a program compiles once.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)
