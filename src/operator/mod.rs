//! The operators' page, its JSON form and the explanation of single requests.
