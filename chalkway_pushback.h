#ifndef CHALKWAY_PUSHBACK_H
#define CHALKWAY_PUSHBACK_H
/*
    chalkway_pushback.h -- server pushback in the head of a response

    WHAT IT IS
        Parsers of the header fields with which a server limits its callers:
        a time to back off and a rate limit. They accept only valid values;
        an invalid field leaves the result unchanged.

    HOW TO USE IT
            double per_s;
            if (cw_pushback_parse_rate(text, &per_s)) { ... }

    WHAT IT DOES NOT DO
        It keeps no state. The caller decides to which server a response
        applies, and acts on the values.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PUSHBACK_LIMIT_MAX 1e6 /* requests per second; higher rates are reduced to it */

/* Parses a backoff in seconds, a decimal number of 0 or more, into *ms, rounded up and at most max_ms. A date is not
   accepted: the clocks of two machines may differ by more than a backoff lasts. Returns false and leaves *ms unchanged
   when the text is invalid. */
bool cw_pushback_parse_retry_after(const char* text, uint32_t max_ms, uint32_t* ms);
/* Parses a rate limit in requests per second, a decimal number of 0 or more. Returns false and leaves *per_s unchanged
   when the text is invalid. */
bool cw_pushback_parse_rate(const char* text, double* per_s);

#endif /* CHALKWAY_PUSHBACK_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PUSHBACK_IMPL_INCLUDED
#define CHALKWAY_PUSHBACK_IMPL_INCLUDED

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Parses a decimal number without sign, exponent or words such as "inf"; spaces and tabs around it are allowed. */
static bool _cw_pushback_parse_decimal(const char* text, double* out) {
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

bool cw_pushback_parse_rate(const char* text, double* per_s) {
    double value = 0;
    if (!text || !_cw_pushback_parse_decimal(text, &value)) {
        return false;
    }
    *per_s = value < CW_PUSHBACK_LIMIT_MAX ? value : CW_PUSHBACK_LIMIT_MAX;
    return true;
}

bool cw_pushback_parse_retry_after(const char* text, uint32_t max_ms, uint32_t* ms) {
    double seconds = 0;
    if (!text || !_cw_pushback_parse_decimal(text, &seconds)) {
        return false;
    }
    double value_ms = ceil(seconds * 1000.0);
    *ms = value_ms < max_ms ? (uint32_t)value_ms : max_ms;
    return true;
}

#endif /* CHALKWAY_PUSHBACK_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
