#ifndef CHALKWAY_PUSHBACK_H
#define CHALKWAY_PUSHBACK_H
/*
    chalkway_pushback.h -- what a server asks of its callers in the head of an answer

    WHAT IT IS
        Readers of the header fields with which a server holds its callers
        back. They accept what can be acted on and nothing else, so a field
        that can't be read changes nothing.

    HOW TO USE IT
            double per_s;
            if (cw_pushback_limit(text, &per_s)) { ... }

    WHAT IT DOES NOT DO
        It keeps nothing. Which head speaks for which server, and what follows
        from it, is the caller's matter.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PUSHBACK_LIMIT_MAX 1e6 /* requests a second; more counts as this */

/* Reads a time to rest: seconds, a decimal number, 0 or more; *ms is rounded up and at most max_ms. A date is not read:
   clocks of two machines may disagree by more than a rest lasts. False: it is none, and *ms is left as it was. */
bool cw_pushback_rest(const char* text, uint32_t max_ms, uint32_t* ms);
/* Reads a rate, requests a second: a decimal number, 0 or more. False: it is none, and *per_s is left as it was. */
bool cw_pushback_limit(const char* text, double* per_s);

#endif /* CHALKWAY_PUSHBACK_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PUSHBACK_IMPL_INCLUDED
#define CHALKWAY_PUSHBACK_IMPL_INCLUDED

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A decimal number without sign, exponent or words such as "inf", blanks around it allowed. */
static bool _cw_pushback_decimal(const char* text, double* out) {
    const char* at = text + strspn(text, " \t");
    size_t length = strspn(at, "0123456789.");
    const char* end = at + length;
    char* parsed = NULL;
    if (!length || end[strspn(end, " \t")]) {
        return false;
    }
    double value = strtod(at, &parsed);
    if (parsed != end) {
        return false;
    }
    *out = value;
    return true;
}

bool cw_pushback_limit(const char* text, double* per_s) {
    double value = 0;
    if (!text || !_cw_pushback_decimal(text, &value)) {
        return false;
    }
    *per_s = value < CW_PUSHBACK_LIMIT_MAX ? value : CW_PUSHBACK_LIMIT_MAX;
    return true;
}

bool cw_pushback_rest(const char* text, uint32_t max_ms, uint32_t* ms) {
    double seconds = 0;
    if (!text || !_cw_pushback_decimal(text, &seconds)) {
        return false;
    }
    double value_ms = ceil(seconds * 1000.0);
    *ms = value_ms < max_ms ? (uint32_t)value_ms : max_ms;
    return true;
}

#endif /* CHALKWAY_PUSHBACK_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
