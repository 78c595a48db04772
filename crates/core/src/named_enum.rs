//! Enums whose variants have names in events, settings and answers.

/// Declares an enum of unit variants, with the list of them and their names.
macro_rules! named_enum {
    ($(#[$meta:meta])* pub enum $name:ident {
        $($(#[$variant_meta:meta])* $variant:ident = $text:literal,)+
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $name { $($(#[$variant_meta])* $variant,)+ }

        impl $name {
            /// Every variant, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Name of the variant.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Variant with this name; `None` if the name is unknown.
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|variant| variant.name() == name)
            }
        }
    };
}

pub(crate) use named_enum;
