#include "soak_qod.h"

#include <string.h>

#include "../chalkway_core.h"

soak_qod_body_t* soak_qod_find_or_add(soak_qod_t* qod, const char* name) {
    for (uint32_t i = 0; i < qod->count; i++) {
        if (strcmp(qod->bodies[i].name, name) == 0) {
            return &qod->bodies[i];
        }
    }
    if (qod->count == SOAK_QOD_BODIES_MAX) {
        return NULL;
    }
    soak_qod_body_t* body = &qod->bodies[qod->count++];
    cw_copy(body->name, sizeof(body->name), name);
    return body;
}

void soak_qod_on_arrival(soak_qod_body_t* body, int64_t at_ms) {
    body->late_arrivals += body->known_from_ms && at_ms > body->known_from_ms;
}

void soak_qod_on_crash(soak_qod_body_t* body, int64_t at_ms) {
    bool is_part = strncmp(body->name, SOAK_QOD_PART_PREFIX, strlen(SOAK_QOD_PART_PREFIX)) == 0;
    body->crashes++;
    if (body->crashes == (is_part ? SOAK_QOD_PART_CRASHES_MAX : SOAK_QOD_CRASHES_MAX)) {
        body->known_from_ms = at_ms + SOAK_QOD_PROPAGATION_MS;
    }
}
