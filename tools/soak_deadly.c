#include "soak_deadly.h"

#include <string.h>

#include "../chalkway_core.h"

soak_deadly_body_t* soak_deadly_body(soak_deadly_t* d, const char* name) {
    for (uint32_t i = 0; i < d->count; i++) {
        if (strcmp(d->bodies[i].name, name) == 0) {
            return &d->bodies[i];
        }
    }
    if (d->count == SOAK_DEADLY_BODIES) {
        return NULL;
    }
    soak_deadly_body_t* body = &d->bodies[d->count++];
    cw_copy(body->name, sizeof(body->name), name);
    return body;
}

void soak_deadly_reach(soak_deadly_body_t* body, int64_t at_ms) {
    body->late += body->known_ms && at_ms > body->known_ms;
}

void soak_deadly_died(soak_deadly_body_t* body, int64_t at_ms) {
    body->ended++;
    if (body->ended == SOAK_DEADLY_LIVES) {
        body->known_ms = at_ms + SOAK_DEADLY_KNOWN_MS;
    }
}
