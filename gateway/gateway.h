#ifndef CW_GATEWAY_H
#define CW_GATEWAY_H
#include "dialect.h"

/* Runs a gateway with the settings file until a signal stops it. Returns the exit code. */
int gateway_main(const char* settings_path, const dialect_t* dialect, const source_t* source);

#endif
