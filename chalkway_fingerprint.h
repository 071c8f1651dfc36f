#ifndef CHALKWAY_FINGERPRINT_H
#define CHALKWAY_FINGERPRINT_H
/*
    chalkway_fingerprint.h -- identifies a request by its content, and a part of a prompt by its id

    WHAT IT IS
        A caller that sends the same request again gives it a new id and may
        send it to another host. Its fingerprint stays the same: the caller's
        workspace, and a hash of the method, host, target and full body. All
        hosts compute the same fingerprint. The workspace is not part of the
        hash, so a body crafted to collide with another one can affect only
        requests of its own workspace.

        Requests with different content may share parts of their prompts. The
        fingerprint of a part is its id, whichever workspace sends it.

    HOW TO USE IT
            cw_fingerprint_t f = cw_fingerprint(workspace, &(cw_fingerprint_parts_t){.method = "POST", ...});
            cw_fingerprint_t p = cw_fingerprint_of_part(part_id);
            if (cw_fingerprint_equal(&f, &g)) { ... }

    WHAT IT DOES NOT DO
        It is neither a secret nor a signature: XXH3 is fast and can be
        inverted. It does not cover ids, deadlines and other header fields.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_FINGERPRINT_PART UINT64_MAX /* instead of a workspace: the fingerprint is that of a part */

typedef struct cw_fingerprint_t {
    uint64_t workspace;    /* id of its name, 0: none */
    uint64_t content_hash; /* hash, or id of the part; never 0 */
} cw_fingerprint_t;

typedef struct cw_fingerprint_parts_t {
    const char* method;
    const char* host;   /* NULL or "": none */
    const char* target; /* path and query as received */
    const void* body;
    size_t size;
} cw_fingerprint_parts_t;

cw_fingerprint_t cw_fingerprint(uint64_t workspace, const cw_fingerprint_parts_t* parts);
cw_fingerprint_t cw_fingerprint_of_part(uint64_t part_id);
bool cw_fingerprint_is_part(const cw_fingerprint_t* f);
bool cw_fingerprint_equal(const cw_fingerprint_t* a, const cw_fingerprint_t* b);

#endif /* CHALKWAY_FINGERPRINT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_FINGERPRINT_IMPL_INCLUDED
#define CHALKWAY_FINGERPRINT_IMPL_INCLUDED

#include <string.h>
#include <xxhash.h>

/* Domain separator, hashed first: no other hash of the same bytes equals a fingerprint by accident. */
#define _CW_FINGERPRINT_DOMAIN 0x63772d6670727431ULL /* "cw-fprt1" */

static uint64_t _cw_fingerprint_add(uint64_t hash, const void* data, size_t size) {
    return cw_mix(hash, size ? XXH3_64bits(data, size) : size);
}

static uint64_t _cw_fingerprint_text(uint64_t hash, const char* text) {
    return _cw_fingerprint_add(hash, text, text ? strlen(text) : 0);
}

cw_fingerprint_t cw_fingerprint(uint64_t workspace, const cw_fingerprint_parts_t* parts) {
    uint64_t hash = _CW_FINGERPRINT_DOMAIN;
    hash = _cw_fingerprint_text(hash, parts->method);
    hash = _cw_fingerprint_text(hash, parts->host);
    hash = _cw_fingerprint_text(hash, parts->target);
    hash = _cw_fingerprint_add(hash, parts->body, parts->size);
    return (cw_fingerprint_t){.workspace = workspace, .content_hash = hash};
}

cw_fingerprint_t cw_fingerprint_of_part(uint64_t part_id) {
    return (cw_fingerprint_t){.workspace = CW_FINGERPRINT_PART, .content_hash = part_id ? part_id : 1};
}

bool cw_fingerprint_is_part(const cw_fingerprint_t* f) {
    return f->workspace == CW_FINGERPRINT_PART;
}

bool cw_fingerprint_equal(const cw_fingerprint_t* a, const cw_fingerprint_t* b) {
    return a->content_hash == b->content_hash && a->workspace == b->workspace;
}

#endif /* CHALKWAY_FINGERPRINT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
